"""The entry daemon behind a caller protocol port."""
