"""The system's command line: looks at files and at running core machines; `route` commands edit routes."""
