import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';

/** The fields of an endpoint that its limit is kept by. */
export type LimitedEndpoint = Pick<ListedEndpoint, 'id' | 'hall'>;
