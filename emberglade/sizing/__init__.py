"""Sizing: the experts of the Cackle paper (section 4.4), their weights and the draw.

Pure and seeded: without messages, and the same history and seed give the same targets.
"""

from .experts import Expert, expert_family
from .sizer import Draw, Sizer

__all__ = ["Draw", "Expert", "Sizer", "expert_family"]
