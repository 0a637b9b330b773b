"""One module for each operators' command."""
