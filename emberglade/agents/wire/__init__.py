"""The messages and stored records of this package; only these modules know their fields' names.

`agents` contains agents' heartbeats and the commands to them, `tasks` the tasks in heartbeats,
`fields` checks on their fields, `peers` the questions and answers
between controllers, `tables` the table that each controller writes to the store every 5 s, and
`records` the other keys of the store that this package reads or writes.
"""
