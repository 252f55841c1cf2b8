import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {Connection} from './connection.js';

/** Connects to an endpoint. Never rejects, and ends in time. */
export type Connector = (endpoint: ListedEndpoint) => Promise<Connection>;
