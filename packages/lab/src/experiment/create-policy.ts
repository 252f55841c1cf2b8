import type {Policy} from './policy.js';
import type {World} from './world.js';

/** Creates a policy in a world. */
export type CreatePolicy = (world: World) => Policy;
