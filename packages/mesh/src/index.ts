export type {Identity} from './identity.js';
export type {LinkError} from './link-error.js';
export type {MeshHandlers} from './mesh-handlers.js';
export type {Mesh} from './mesh.js';
export type {Tunnels} from './tunnels.js';
export {openMesh} from './open-mesh.js';
