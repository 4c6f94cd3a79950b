"""The parts that the cases of the review share."""
