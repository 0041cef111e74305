"""The system's command line: looks at files and core machines; `route` and `tenant` commands change some."""
