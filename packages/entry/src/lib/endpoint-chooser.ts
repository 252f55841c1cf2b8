import type {EndpointEvent} from '@deckwheel/routing';
import type {ListedEndpoint} from '../listed-endpoint.js';
import type {EndpointChoice} from './endpoint-choice.js';
import type {PromptPart} from './prompt-part.js';

/** Chooses endpoints, and learns from what became of requests. */
export type EndpointChooser = {
	readonly list: (endpoints: readonly ListedEndpoint[]) => void;
	readonly choose: (service: string, parts: readonly PromptPart[], tried: readonly string[]) => EndpointChoice | undefined;
	readonly note: (event: EndpointEvent) => void;
};
