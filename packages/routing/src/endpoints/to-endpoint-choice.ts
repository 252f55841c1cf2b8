import type {ScoredEndpoint} from '../scoring/scored-endpoint.js';
import type {EndpointChoice} from './endpoint-choice.js';

/** Makes the choice of a scored endpoint, with the text of its reason. Pure. */
export const toEndpointChoice = ({endpoint, reason, hasCapacity}: ScoredEndpoint): EndpointChoice => ({endpoint, reason: reason(), hasCapacity});
