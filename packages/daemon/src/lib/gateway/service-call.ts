import type {Bundle} from '@deckwheel/bundle';

/** A call to a plain service, as the bundle describes it. */
export type ServiceCall = Bundle['services'][number]['calls'][number];
