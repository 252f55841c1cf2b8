import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';

/** The endpoint that was chosen for a request, and why it was chosen, as one line for the log. */
export type ChosenEndpoint = {readonly endpoint: ListedEndpoint; readonly reason: string};
