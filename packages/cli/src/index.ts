export {approveDraft} from './approve-draft.js';
export {authorDraft} from './author-draft.js';
export {rollDraft} from './roll-draft.js';
export {topUpBudget} from './top-up-budget.js';
