#!/bin/sh
# The stand-ins of the cases are plain modules of Node.js: nothing has to be built.
exit 0
