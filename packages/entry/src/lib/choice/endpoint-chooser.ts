import type {EndpointEvent} from '@deckwheel/routing';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {PromptPart} from '../admission/prompt-part.js';
import type {ChosenEndpoint} from './chosen-endpoint.js';

/** Chooses endpoints, and learns from what became of requests. */
export type EndpointChooser = {
	readonly list: (endpoints: readonly ListedEndpoint[]) => void;
	/** `avoided`: halls in which this request found an endpoint out of reach. */
	readonly choose: (service: string, parts: readonly PromptPart[], tried: readonly string[], avoided: readonly string[]) => ChosenEndpoint | undefined;
	/** When the first endpoint of a service takes requests again, in monotonic ms, where all asked for rest; else `undefined`. */
	readonly restOfAll: (service: string) => number | undefined;
	/** Takes in what was learnt of one endpoint. */
	readonly note: (event: Exclude<EndpointEvent, {type: 'configured'}>) => void;
};
