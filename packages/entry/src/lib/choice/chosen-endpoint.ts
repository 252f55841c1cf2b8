import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';

/** The endpoint chosen for a request, and why, as one line for the log. */
export type ChosenEndpoint = {readonly endpoint: ListedEndpoint; readonly reason: string};
