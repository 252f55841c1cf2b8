import type {Prompt} from '../admission/prompt.js';

/** Returns the ids of the parts of a prompt that other requests may share: all but the last, which is the request's own. Pure. */
export const sharedPartsOf = (prompt: Pick<Prompt, 'parts'> | undefined): readonly string[] => (prompt?.parts ?? []).slice(0, -1).map(({id}) => id);
