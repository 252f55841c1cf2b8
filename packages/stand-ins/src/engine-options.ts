import type {EngineFaults} from './lib/engine-faults.js';

/** How a stand-in engine is set up. */
export type EngineOptions = Partial<EngineFaults> & {
	readonly port?: number;
	/** Streams that it generates side by side. */
	readonly slots?: number;
	/** Whether it refuses a request that comes after its `x-send-by`. */
	readonly checksSendBy?: boolean;
	/** Called when a prompt has ended it (`endsOn`). */
	readonly onEnded?: () => void;
};
