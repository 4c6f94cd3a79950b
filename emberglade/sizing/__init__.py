"""Sizing: the experts of the Cackle paper (section 4.4), their weights and the draw. Pure and
seeded.
"""

from .sizer import Expert, Sizer, family

__all__ = ["Expert", "Sizer", "family"]
