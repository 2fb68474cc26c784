//! Work that ends at a moment, whatever it is doing then.

use std::pin::Pin;
use std::pin::pin;

use futures_util::future::Either;
use futures_util::future::select;

/// Does `work` until `end` is there, which is looked at first each time: work that always has
/// something to do can't put it off. Returns what `end` gave if it came first.
pub async fn unless<End, Work>(end: Pin<&mut End>, work: Work) -> Result<Work::Output, End::Output>
where
    End: Future,
    Work: Future,
{
    match select(end, pin!(work)).await {
        Either::Left((ended, _)) => Err(ended),
        Either::Right((done, _)) => Ok(done),
    }
}
