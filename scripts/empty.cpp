// Stands in for a part that has no source file yet.
