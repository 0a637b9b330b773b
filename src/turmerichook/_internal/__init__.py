"""Private implementation; anything here may move between releases."""
