#!/usr/bin/env bash
# Plays this case. With TROUBLE=0, without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../play.sh" backlog "$folder"
