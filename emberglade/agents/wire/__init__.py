"""The messages and records of this slice: the only modules that know their names and fields.

`agents` has the heartbeats of agents and the commands to them, `peers` the questions and answers
between controllers, `tables` the 5 s table that each controller writes to the store, and `records`
the other keys of the store that this slice reads or writes.
"""
