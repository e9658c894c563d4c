"""What outlasts the process."""
