import type {Mesh} from './mesh.js';
import type {Tunnels} from './tunnels.js';

/** The links of a host to its peers, with the tunnels beside them. `close` ends both. */
export type TunnellingMesh = Mesh & {readonly tunnels: Tunnels};
