"""Schedules requests on pools of endpoints; limits workspace rates."""
