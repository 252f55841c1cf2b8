import {hash32} from '@deckwheel/core';
import type {ListedEndpoint} from '../../../adapter/listed-endpoint.js';
import type {EndpointIndex} from './endpoint-index.js';

/** Indexes the listed endpoints by the hashes of their ids. */
export const indexEndpoints = (endpoints: ReadonlyArray<Pick<ListedEndpoint, 'id' | 'serves'>>): EndpointIndex => {
	const hashed = endpoints.map(({id, serves}) => ({hash: hash32(id), id, services: serves.join(' ')})).sort((a, b) => a.hash - b.hash);
	return {
		digest: hash32(hashed.map(({hash}) => hash).join(' ')),
		hashes: hashed.map(({hash}) => hash),
		idOf: new Map(hashed.map(({hash, id}) => [hash, id])),
		servicesOf: new Map(hashed.map(({hash, services}) => [hash, services])),
	};
};
