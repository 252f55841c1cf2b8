import type {EndpointEvent} from '@deckwheel/routing';
import type {ListedEndpoint} from '../listed-endpoint.js';
import type {EndpointChoice} from './endpoint-choice.js';
import type {PromptPart} from './prompt-part.js';

/** Chooses endpoints, and learns from what became of requests. */
export type EndpointChooser = {
	readonly list: (endpoints: readonly ListedEndpoint[]) => void;
	/** `avoided`: halls in which this request found an endpoint out of reach. */
	readonly choose: (service: string, parts: readonly PromptPart[], tried: readonly string[], avoided: readonly string[]) => EndpointChoice | undefined;
	readonly note: (event: EndpointEvent) => void;
};
