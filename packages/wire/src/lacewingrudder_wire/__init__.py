"""Codecs, schemas and file formats shared by the lacewingrudder processes.

This module imports nothing: importing the schema validation takes more processor time than starting
a whole entry host, which validates no documents.
"""
