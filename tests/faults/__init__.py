"""Tests of the fault schedules and their checkers."""
