"""Stand-ins for the state service, the cloud, workers and users, in simulated or real time."""
