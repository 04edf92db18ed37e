"""Stand-ins of the review's cases: the agent, endpoints, an MQTT broker; and the dispatcher's process."""
