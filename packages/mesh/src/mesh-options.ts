import type {Identity} from './identity.js';
import type {MeshHandlers} from './mesh-handlers.js';

/** The options of `openMesh`. */
export type MeshOptions = {
	/** The identity that this host proves to its peers. */
	readonly self: Identity;
	/** The secret that all hosts share, from their settings. */
	readonly secret: string;
	/** The address and port to listen on; port 0 takes any free port. */
	readonly listen: {readonly host: string; readonly port: number};
	readonly handlers: MeshHandlers;
};
