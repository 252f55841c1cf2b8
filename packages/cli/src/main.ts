#!/usr/bin/env node
/** `deckwheel`, the command-line tool of operators: runs the command that its arguments name (`commands.ts`). */
import {execute} from '@oclif/core';

await execute({dir: import.meta.url});
