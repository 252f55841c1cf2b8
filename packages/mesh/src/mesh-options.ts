import type {Identity} from './identity.js';
import type {MeshHandlers} from './mesh-handlers.js';

/** What a mesh needs to start. */
export type MeshOptions = {
	readonly self: Identity;
	/** The secret that all hosts share, from their settings. */
	readonly secret: string;
	readonly listen: {readonly host: string; readonly port: number};
	readonly handlers: MeshHandlers;
};
