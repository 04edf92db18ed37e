"""Bounds the memory that other parties make this process hold."""
