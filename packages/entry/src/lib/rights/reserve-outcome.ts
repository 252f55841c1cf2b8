/**
Whether tokens were reserved for a request. `exhausted`: the budget is used up; `unavailable`: what remains of the budget is out of this
host's reach; `kept`: what remains is kept for more urgent or for later requests.
*/
export type ReserveOutcome = 'reserved' | 'exhausted' | 'unavailable' | 'kept';
