import type {EventEmitter} from 'node:events';

/** One generation at the stand-in engine. */
export type EngineStream = {
	readonly id: string;
	readonly prompt: string;
	readonly wanted: number;
	readonly priority: number;
	readonly promptTokens: number;
	readonly tokens: string[];
	readonly events: EventEmitter;
	state: 'queued' | 'running' | 'finished' | 'cancelled';
};
