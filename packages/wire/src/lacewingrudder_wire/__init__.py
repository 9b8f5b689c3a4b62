"""Codec, schemas and formats shared by the lacewingrudder processes.

Nothing is imported here: checking documents against schemas costs more processor time to import
than a whole entry host, which reads none.
"""
