import type {Clock} from '@deckwheel/core';
import type {Platform} from '@deckwheel/store-client';
import type {DaemonSettings} from '../../daemon-settings.js';
import type {Log} from './leveled-log.js';
import type {Metrics} from './metrics.js';
import type {Tracing} from './tracing.js';

/** What every task of the daemon is given. */
export type Context = {
	readonly settings: DaemonSettings;
	/** This host's incarnation. */
	readonly self: string;
	readonly clock: Clock;
	readonly platform: Platform;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly tracing: Tracing;
};
