"""Bundle records, schemas, checks and signatures; settings files."""
