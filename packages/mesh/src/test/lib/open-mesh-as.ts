import {openMesh} from '../../open-mesh.js';
import type {TunnellingMesh} from '../../tunnelling-mesh.js';

/** Opens the mesh of one incarnation of a host at a free port. It answers each request with the request's body. */
export const openMeshAs = async (incarnation: string): Promise<TunnellingMesh> => openMesh({
	self: {incarnation, hall: 'h'},
	secret: 'secret',
	listen: {host: '127.0.0.1', port: 0},
	handlers: {onRequest: async (_from, body) => body, onMessage: () => undefined},
});
