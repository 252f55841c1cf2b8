import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';

/** What of an endpoint its limit is kept by. */
export type LimitedEndpoint = Pick<ListedEndpoint, 'id' | 'hall'>;
