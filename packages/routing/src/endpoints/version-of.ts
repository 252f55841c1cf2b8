import type {EndpointInfo} from './endpoint-info.js';

/** Returns the version of an endpoint's software. Endpoints that state none count as of one version, which has an empty name. Pure. */
export const versionOf = ({version}: Pick<EndpointInfo, 'version'>): string => version ?? '';
