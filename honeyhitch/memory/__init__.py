"""What is kept in memory and in the journal."""
