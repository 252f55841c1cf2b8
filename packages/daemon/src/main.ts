#!/usr/bin/env node
/** `deckwheeld`. It listens for signals before it loads the daemon: a signal without a listener ends a process. */
import process from 'node:process';
import {receiveSignals} from '@deckwheel/host-kit/receive-signals';

const signals = receiveSignals(process, 'SIGTERM', 'SIGINT', 'SIGHUP');
const {runDaemon} = await import('./run-daemon.js');
await runDaemon(process, signals);
