"""Tests of requests whose responses are collected."""
