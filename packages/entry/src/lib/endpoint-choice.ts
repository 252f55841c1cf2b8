import type {ListedEndpoint} from '../listed-endpoint.js';

/** The endpoint chosen for a request, and why, as one line for the log. */
export type EndpointChoice = {readonly endpoint: ListedEndpoint; readonly reason: string};
