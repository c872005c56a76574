"""Process of the journal-based cluster: settings, components, lifecycle."""
