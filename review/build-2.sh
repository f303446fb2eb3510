#!/bin/sh
# The stand-ins of cases 4 to 8 are plain modules of Node.js: nothing has to be built.
exit 0
