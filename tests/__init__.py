"""Tests of pimentoline."""
