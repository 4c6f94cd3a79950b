"""Sizing of machine pools by weighted experts, as in the Cackle paper (section 4.4).

Pure and deterministic: it sends no messages, and equal history and seed give equal targets.
"""

from .experts import Expert, expert_family
from .sizer import Draw, Sizer

__all__ = ["Draw", "Expert", "Sizer", "expert_family"]
