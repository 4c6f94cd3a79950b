"""emberglade: a cluster scheduler."""
